/** Fault soak: entry hosts as separate processes under faults and load that a seed determines. */
package io.cactusspring.soak;
