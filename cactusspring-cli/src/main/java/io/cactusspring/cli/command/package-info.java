/** The commands, their arguments and what they do. */
package io.cactusspring.cli.command;
