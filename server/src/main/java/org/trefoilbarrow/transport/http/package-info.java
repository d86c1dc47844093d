/**
 * The HTTP API for callers and operators.
 *
 * <p>Read in this order: {@link org.trefoilbarrow.transport.http.CallerAdmission}, which
 * authenticates callers, {@link org.trefoilbarrow.transport.http.ChatResource} for callers, and
 * {@link org.trefoilbarrow.transport.http.AdministrationResource} for operators.
 */
package org.trefoilbarrow.transport.http;
