/** Placeholder. */
package io.cactusspring.cli;
