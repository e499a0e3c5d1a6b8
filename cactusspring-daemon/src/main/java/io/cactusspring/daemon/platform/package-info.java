/** Ports to the platform and its HTTP adapters: the log, the host list and the worker agents. */
package io.cactusspring.daemon.platform;
