/** Forwards callers' requests to executors and returns the answers. */
package io.cactusspring.daemon.request;
