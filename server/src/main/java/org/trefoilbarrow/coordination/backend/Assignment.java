package org.trefoilbarrow.coordination.backend;

/**
 * A permit for a demand that waited.
 *
 * @param requestId the request
 * @param permit the permit
 */
public record Assignment(long requestId, Permit permit) {}
