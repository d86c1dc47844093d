package org.trefoilbarrow.transport.http;

import java.util.Optional;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.KeyDigest;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * The authenticated caller of a request.
 *
 * @param organisation the organisation of the caller
 * @param spec the configuration of the organisation
 * @param key the digest of the caller's key; empty for a request without a key on an open route
 */
record Caller(OrganisationId organisation, OrganisationSpec spec, Optional<KeyDigest> key) {}
