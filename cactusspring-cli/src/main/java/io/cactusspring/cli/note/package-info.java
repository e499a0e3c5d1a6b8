/** Release notes in files, and keys. */
package io.cactusspring.cli.note;
