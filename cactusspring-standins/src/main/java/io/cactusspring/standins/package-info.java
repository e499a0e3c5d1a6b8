/** Placeholder. */
package io.cactusspring.standins;
