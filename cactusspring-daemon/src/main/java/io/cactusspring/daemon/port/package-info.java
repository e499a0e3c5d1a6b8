/** Limits and TLS of the ports on which this entry host listens. */
package io.cactusspring.daemon.port;
