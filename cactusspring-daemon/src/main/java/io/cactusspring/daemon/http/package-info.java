/** Filter chain for HTTP requests of callers: limits, authentication and refusals. */
package io.cactusspring.daemon.http;
