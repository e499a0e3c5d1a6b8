/**
 * The daemon that runs on every entry host; {@link io.cactusspring.daemon.Cactusspringd} starts it.
 */
package io.cactusspring.daemon;
