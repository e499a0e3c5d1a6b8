/** Calls to entry hosts over HTTP. */
package io.cactusspring.cli.client;
