/** HTTP calls about submitted work, release notes and status. */
package io.cactusspring.daemon.work;
