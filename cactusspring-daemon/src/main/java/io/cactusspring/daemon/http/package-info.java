/** Filter chain for callers' requests: limits, authentication and refusals. */
package io.cactusspring.daemon.http;
