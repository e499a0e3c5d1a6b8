/** Files of release notes, and keys. */
package io.cactusspring.cli.note;
