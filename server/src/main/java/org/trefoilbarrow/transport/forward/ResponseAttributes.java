package org.trefoilbarrow.transport.forward;

import java.util.Optional;

/**
 * The attributes that a backend server states in the headers of a response.
 *
 * @param requestId the identifier of the request that the response belongs to, if stated
 * @param signed whether the response has the backend server's signature, which every response to a
 *     processed request has
 * @param notRun whether the backend server states that it did not run the request
 * @param impliesNotRun whether callers take the status for the statement that the request did not
 *     run and never will
 * @param replaced whether the address now belongs to another backend server
 * @param idleMillis how long the server keeps an idle connection open; 0 if unknown
 */
public record ResponseAttributes(
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean impliesNotRun,
    boolean replaced,
    long idleMillis) {}
