/**
 * Requests to backend servers: permits, sending, retries and reading responses.
 *
 * <p>Read first {@link org.trefoilbarrow.transport.backend.OnlineDispatcher}, then {@link
 * org.trefoilbarrow.transport.backend.PermitQueue} and {@link
 * org.trefoilbarrow.transport.backend.BackendClient}.
 */
package org.trefoilbarrow.transport.backend;
