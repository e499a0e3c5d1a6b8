/** Responses of entry hosts, as docs/API.md defines them. */
package io.cactusspring.cli.wire;
