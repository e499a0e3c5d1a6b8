/** Serving of callers' requests by executors. */
package io.cactusspring.daemon.request;
