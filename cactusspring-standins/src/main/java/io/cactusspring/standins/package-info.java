/**
 * Small separate processes that replace the platform in tests and in the quickstart: its log, host
 * list, workers and executors. They validate requests only as far as the wire interface requires
 * and record each violation that they detect.
 */
package io.cactusspring.standins;
