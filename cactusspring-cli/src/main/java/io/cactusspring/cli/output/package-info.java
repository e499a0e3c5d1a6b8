/** What the tool prints: tables, JSON and progress. */
package io.cactusspring.cli.output;
