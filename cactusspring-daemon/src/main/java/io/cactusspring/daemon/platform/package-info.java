/**
 * Interfaces to the platform's log, the host list and the worker agents, with their HTTP adapters.
 */
package io.cactusspring.daemon.platform;
