/** How parts of a team's upper limit move between accounts. */
package io.cactusspring.core.budget;
