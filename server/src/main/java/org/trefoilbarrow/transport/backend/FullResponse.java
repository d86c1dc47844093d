package org.trefoilbarrow.transport.backend;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP response that was read in full.
 *
 * @param status the HTTP status
 * @param contentType the content type, or null if there is none
 * @param body the body
 */
public record FullResponse(int status, @Nullable String contentType, byte[] body) {}
