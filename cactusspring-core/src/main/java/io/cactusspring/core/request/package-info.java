/** Request routing: admission, queueing, choice of the endpoint, retries and final responses. */
package io.cactusspring.core.request;
