/** The commands, their arguments and their execution. */
package io.cactusspring.cli.command;
