/** The stand-in for an endpoint that serves requests with a fixed number of slots. */
package io.cactusspring.standins.executor;
