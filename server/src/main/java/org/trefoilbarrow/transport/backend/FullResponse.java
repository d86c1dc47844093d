package org.trefoilbarrow.transport.backend;

import org.jspecify.annotations.Nullable;

/**
 * An answer that was read whole.
 *
 * @param status the HTTP status
 * @param contentType the content type, or null when there is none
 * @param body the body
 */
public record FullResponse(int status, @Nullable String contentType, byte[] body) {}
