/** Settings of the daemon: what may be set, how a settings file is read and how it is printed. */
package io.cactusspring.daemon.settings;
