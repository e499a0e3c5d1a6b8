/** Numbered events of the daemon's log; the catalogue is docs/EVENTS.md. */
package io.cactusspring.daemon.log;
