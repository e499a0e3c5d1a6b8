/** Placeholder. */
package io.cactusspring.daemon;
