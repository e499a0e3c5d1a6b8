/** Placeholder. */
package io.cactusspring.protocol;
