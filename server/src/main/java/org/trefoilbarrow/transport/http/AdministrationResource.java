package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.EntityTag;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.EntityReference;
import org.trefoilbarrow.operators.EntitySpec;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedEntity;
import org.trefoilbarrow.transport.platform.ConfigurationStore;

/**
 * {@code /admin/v1/<kind>/<name>}: reads and changes the versioned configuration.
 *
 * <p>A write requires {@code If-Match} with the version that it replaces, or {@code If-None-Match:
 * *} to create an entity.
 */
@Path("/admin/v1")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class AdministrationResource {
  private static final String SECRET_PREFIX = "tb-";

  private final OperatorAuthenticator authenticator;
  private final ConfigurationStore store;
  private final ConfigurationTable table;
  private final LimitsSettings limits;

  /** Creates the resource. */
  @Inject
  public AdministrationResource(
      OperatorAuthenticator authenticator,
      ConfigurationStore store,
      ConfigurationTable table,
      LimitsSettings limits) {
    this.authenticator = checkNotNull(authenticator, "authenticator");
    this.store = checkNotNull(store, "store");
    this.table = checkNotNull(table, "table");
    this.limits = checkNotNull(limits, "limits");
  }

  /** An entity with its version. */
  public record EntityResponse(EntityKind kind, String name, long version, EntitySpec spec) {
    static EntityResponse of(VersionedEntity entity) {
      return new EntityResponse(
          entity.entity().kind(), entity.entity().name(), entity.version(), entity.entity().spec());
    }
  }

  /** All entities of a kind. */
  public record EntityList(List<EntityResponse> entities) {}

  /** The version that a write created. */
  public record WriteResponse(long version) {}

  /** A new key. The secret is returned only once and is not stored. */
  public record IssuedKey(String name, long version, String secret, String organisation) {}

  /** Lists the entities of a kind, sorted by name. */
  @GET
  @Path("/{kind}")
  public EntityList list(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @PathParam("kind") String collection) {
    authenticator.check(authorization);
    return new EntityList(
        table.list(kind(collection)).stream()
            .map(EntityResponse::of)
            .sorted(Comparator.comparing(EntityResponse::name))
            .toList());
  }

  /** Returns an entity as stored at the platform. */
  @GET
  @Path("/{kind}/{name}")
  public Response get(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @PathParam("kind") String collection,
      @PathParam("name") String name) {
    authenticator.check(authorization);
    EntityReference reference = reference(collection, name);
    VersionedEntity found =
        store
            .read(reference)
            .orElseThrow(
                () ->
                    new ServiceException(ErrorKind.NOT_FOUND, "\"%s\" does not exist", reference));
    return Response.ok(EntityResponse.of(found)).tag(tag(found.version())).build();
  }

  /** Creates or replaces an entity. */
  @PUT
  @Path("/{kind}/{name}")
  @Consumes(MediaType.WILDCARD)
  public Response put(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
      @HeaderParam(HttpHeaders.IF_NONE_MATCH) String ifNoneMatch,
      @PathParam("kind") String collection,
      @PathParam("name") String name,
      InputStream body) {
    authenticator.check(authorization);
    EntityReference reference = reference(collection, name);
    long expected = expectedVersion(ifMatch, ifNoneMatch);
    String text =
        RequestBodies.parseObject(RequestBodies.read(body, limits.maxBodyBytes())).toString();
    long version = store.write(parse(reference, text), expected);
    return Response.ok(new WriteResponse(version)).tag(tag(version)).build();
  }

  /** Deletes an entity that no other entity refers to. */
  @DELETE
  @Path("/{kind}/{name}")
  public WriteResponse delete(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
      @PathParam("kind") String collection,
      @PathParam("name") String name) {
    authenticator.check(authorization);
    EntityReference reference = reference(collection, name);
    return new WriteResponse(store.delete(reference, expectedVersion(ifMatch, null)));
  }

  /** Issues a new key for the organisation named in the body; only its digest is stored. */
  @POST
  @Path("/keys/{name}/issue")
  @Consumes(MediaType.WILDCARD)
  public IssuedKey issue(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @PathParam("name") String name,
      InputStream body) {
    authenticator.check(authorization);
    EntityReference reference = reference(EntityKind.KEY.collection(), name);
    ObjectNode request = RequestBodies.parseObject(RequestBodies.read(body, limits.maxBodyBytes()));
    if (!request.path("organisation").isTextual()) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, "the body has no text field \"organisation\"");
    }
    String organisation = request.path("organisation").asText();
    String secret = Digests.newSecret(SECRET_PREFIX);
    KeySpec spec = new KeySpec(organisation, Digests.digest(secret), false);
    long version = store.write(ConfigurationEntity.of(reference.name(), spec), Platform.ABSENT);
    return new IssuedKey(name, version, secret, organisation);
  }

  private static ConfigurationEntity parse(EntityReference reference, String text) {
    try {
      return ConfigurationEntity.of(
          reference.name(), ConfigurationJson.read(text, reference.kind().specType()));
    } catch (IllegalArgumentException e) {
      String message = Throwables.getRootCause(e).getMessage();
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, "\"%s\" is invalid: %s", reference, firstLine(message));
    }
  }

  private static String firstLine(@Nullable String message) {
    return message == null ? "" : message.lines().findFirst().orElse("");
  }

  private static EntityKind kind(String collection) {
    return EntityKind.ofCollection(collection)
        .orElseThrow(
            () ->
                new ServiceException(
                    ErrorKind.NOT_FOUND,
                    "kind \"%s\" does not exist; valid kinds are %s",
                    collection,
                    Arrays.stream(EntityKind.values()).map(EntityKind::collection).toList()));
  }

  private static EntityReference reference(String collection, String name) {
    EntityKind kind = kind(collection);
    if (!ConfigurationEntity.isValidName(name)) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST,
          "name \"%s\" is invalid: use only lower-case letters, digits, \".\", \"_\" and \"-\"",
          name);
    }
    return new EntityReference(kind, name);
  }

  private static long expectedVersion(@Nullable String ifMatch, @Nullable String ifNoneMatch) {
    if ("*".equals(ifNoneMatch)) {
      return Platform.ABSENT;
    }
    if (ifMatch == null) {
      throw new ServiceException(
          ErrorKind.PRECONDITION_REQUIRED,
          "the request has neither header \"If-Match\" with a version nor \"If-None-Match: *\"");
    }
    try {
      return Long.parseLong(ifMatch.replace("\"", ""));
    } catch (NumberFormatException e) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, "\"If-Match: %s\" is not a version", ifMatch);
    }
  }

  private static EntityTag tag(long version) {
    return new EntityTag(Long.toString(version));
  }
}
