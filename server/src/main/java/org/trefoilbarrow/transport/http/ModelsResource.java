package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import org.trefoilbarrow.operators.RouteType;

/** {@code /v1/models} in the format of the OpenAI API. */
@Path("/v1/models")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class ModelsResource {
  private static final String OWNER = "trefoilbarrow";

  private final CallerAdmission admission;
  private final Routes routes;

  /** Creates the resource. */
  @Inject
  public ModelsResource(CallerAdmission admission, Routes routes) {
    this.admission = checkNotNull(admission, "admission");
    this.routes = checkNotNull(routes, "routes");
  }

  /** A model. */
  public record Model(
      String id, String object, long created, @JsonProperty("owned_by") String ownedBy) {
    static Model of(String name) {
      return new Model(name, "model", 0, OWNER);
    }
  }

  /** A list of models. */
  public record ModelList(String object, List<Model> data) {}

  /** Lists the models that the caller may use. */
  @GET
  public ModelList list(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
    Caller caller = admission.authenticate(authorization);
    return new ModelList("list", routes.models(caller).stream().map(Model::of).toList());
  }

  /** Returns one model. */
  @GET
  @Path("/{name}")
  public Model get(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @PathParam("name") String name) {
    admission.authenticate(authorization);
    admission.authenticate(authorization, routes.find(name, RouteType.MODEL));
    return Model.of(name);
  }
}
