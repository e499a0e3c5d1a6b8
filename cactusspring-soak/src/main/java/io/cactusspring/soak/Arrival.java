package io.cactusspring.soak;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.List;

/**
 * A job that a caller submits.
 *
 * @param cancelAfterMillis when the caller cancels it, after its submission; negative if never
 */
record Arrival(
    long at,
    String id,
    Queue queue,
    String organisation,
    List<StepSpec> steps,
    long cancelAfterMillis) {}
