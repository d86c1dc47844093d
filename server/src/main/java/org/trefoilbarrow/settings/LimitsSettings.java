package org.trefoilbarrow.settings;

/**
 * The limits for the requests and connections of callers.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxAnswerBytes the maximum size of a response that is not streamed, in bytes
 * @param maxUploadBytes the maximum size of an uploaded file, in bytes
 * @param maxHeaderBytes the maximum size of the headers of a request, in bytes
 * @param maxConnections the maximum number of open connections of callers
 * @param maxThreads the maximum number of requests in progress
 * @param idleTimeoutMillis how long a connection of a caller may be idle, in milliseconds
 * @param minRequestBytesPerSecond the minimum rate at which a caller must send a body, in bytes per
 *     second
 * @param shutdownWaitMillis how long a shutdown waits for requests in progress, in milliseconds
 */
public record LimitsSettings(
    int maxBodyBytes,
    int maxAnswerBytes,
    long maxUploadBytes,
    int maxHeaderBytes,
    int maxConnections,
    int maxThreads,
    int idleTimeoutMillis,
    int minRequestBytesPerSecond,
    int shutdownWaitMillis) {}
