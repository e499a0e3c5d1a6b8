/** Decisions on requests: admission, order, choice of the endpoint, retries and final answers. */
package io.cactusspring.core.request;
