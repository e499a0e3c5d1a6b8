/** Settings of the daemon: their fields, the reader of settings files and the printed form. */
package io.cactusspring.daemon.settings;
