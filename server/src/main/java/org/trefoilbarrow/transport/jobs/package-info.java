/**
 * Accepts, runs, reads and cancels request jobs: batch jobs whose items are HTTP requests. Their
 * durable state is stored at the platform.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.jobs.RequestJobStore}, which defines the stored
 * objects, then read {@link org.trefoilbarrow.transport.jobs.JobRunner}, which runs items, and
 * {@link org.trefoilbarrow.transport.jobs.CallerJobGateway}, which serves the callers of jobs.
 */
package org.trefoilbarrow.transport.jobs;
