package org.trefoilbarrow.coordination.backend;

/**
 * A permit for a request that was waiting.
 *
 * @param requestId the request
 * @param permit the permit
 */
public record Assignment(long requestId, Permit permit) {}
