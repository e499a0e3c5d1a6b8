/**
 * Connections between entry hosts: heartbeats with loads, and relayed reads and appends of the log.
 */
package io.cactusspring.daemon.peers;
