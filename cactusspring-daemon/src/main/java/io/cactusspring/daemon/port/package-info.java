/** Connection limits and TLS of the network ports on which an entry host listens. */
package io.cactusspring.daemon.port;
