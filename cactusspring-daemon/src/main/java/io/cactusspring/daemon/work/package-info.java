/** HTTP calls for submissions, release notes and status. */
package io.cactusspring.daemon.work;
