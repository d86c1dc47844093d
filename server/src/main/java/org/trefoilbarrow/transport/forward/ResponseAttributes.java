package org.trefoilbarrow.transport.forward;

import java.util.Optional;

/**
 * What the head of a backend server's answer says.
 *
 * @param requestId the identifier of the request that it answers, if it says so
 * @param signed whether the answer bears the backend server's signature, as each answer to a
 *     request that ran does
 * @param notRun whether the backend server states that it did not run the request
 * @param replaced whether another backend server has the address now
 * @param idleMillis how long the server keeps the connection open while it is idle; 0 if unknown
 */
public record ResponseAttributes(
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean replaced,
    long idleMillis) {}
