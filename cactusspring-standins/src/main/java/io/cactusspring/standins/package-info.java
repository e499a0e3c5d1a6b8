/**
 * Small separate processes that take the platform's place in tests and in the quickstart: its log,
 * its host list, workers and executors. They check nothing for their callers beyond what the wire
 * interface states, and they record each violation that they see.
 */
package io.cactusspring.standins;
