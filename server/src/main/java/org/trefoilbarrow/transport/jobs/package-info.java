/**
 * Batch jobs whose items are requests: accepted, run, read and ended, with the platform keeping all
 * that must last.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.jobs.RequestJobStore} for what is kept, {@link
 * org.trefoilbarrow.transport.jobs.JobRunner} for how items are run, and {@link
 * org.trefoilbarrow.transport.jobs.CallerJobGateway} for what hosts with callers do.
 */
package org.trefoilbarrow.transport.jobs;
