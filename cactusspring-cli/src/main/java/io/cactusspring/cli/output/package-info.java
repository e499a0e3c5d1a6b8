/** Output of the tool: tables, JSON and progress. */
package io.cactusspring.cli.output;
