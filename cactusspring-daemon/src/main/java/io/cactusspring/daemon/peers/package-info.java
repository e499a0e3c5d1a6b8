/** Connections between entry hosts: heartbeats, hints and relayed records of the log. */
package io.cactusspring.daemon.peers;
