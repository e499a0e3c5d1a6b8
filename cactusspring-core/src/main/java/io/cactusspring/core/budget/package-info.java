/** Distribution of teams' upper limits among accounts, and budget moves between them. */
package io.cactusspring.core.budget;
