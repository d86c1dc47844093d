package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.util.Optional;
import org.apache.commons.fileupload2.core.FileItemInput;
import org.apache.commons.fileupload2.core.FileItemInputIterator;
import org.apache.commons.fileupload2.core.FileUploadException;
import org.apache.commons.fileupload2.jakarta.servlet6.JakartaServletFileUpload;
import org.trefoilbarrow.operators.BatchRuleSpec;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.FileManifest;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.BatchSettings;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.VersionedEntity;
import org.trefoilbarrow.transport.batch.FileStore;
import org.trefoilbarrow.transport.batch.JobStore;

/** {@code /v1/files} in the format of the OpenAI API: input files and the results of jobs. */
@Path("/v1/files")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class FilesResource {
  private static final String FILE_FIELD = "file";
  private static final String PURPOSE = "batch";

  private final CallerAdmission admission;
  private final FileStore files;
  private final JobStore jobs;
  private final ConfigurationTable configuration;
  private final LimitsSettings limits;
  private final BatchSettings batch;

  /** Creates the resource. */
  @Inject
  public FilesResource(
      CallerAdmission admission,
      FileStore files,
      JobStore jobs,
      ConfigurationTable configuration,
      LimitsSettings limits,
      BatchSettings batch) {
    this.admission = checkNotNull(admission, "admission");
    this.files = checkNotNull(files, "files");
    this.jobs = checkNotNull(jobs, "jobs");
    this.configuration = checkNotNull(configuration, "configuration");
    this.limits = checkNotNull(limits, "limits");
    this.batch = checkNotNull(batch, "batch");
  }

  /** A file. */
  public record FileResponse(
      String id,
      String object,
      long bytes,
      @JsonProperty("created_at") long createdAt,
      String filename,
      String purpose,
      String status) {
    static FileResponse of(FileManifest manifest) {
      return new FileResponse(
          manifest.fileId().value(),
          "file",
          manifest.bytes(),
          manifest.createdAtSeconds(),
          manifest.filename(),
          PURPOSE,
          "processed");
    }
  }

  /** Stores the file of a multipart upload. */
  @POST
  @Consumes(MediaType.MULTIPART_FORM_DATA)
  public FileResponse upload(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      @Context HttpServletRequest request)
      throws InterruptedException {
    Caller caller = admission.authenticate(authorization);
    admission.acquireToken(caller);
    JakartaServletFileUpload<?, ?> upload = new JakartaServletFileUpload<>();
    upload.setSizeMax(limits.maxUploadBytes());
    try {
      FileItemInputIterator parts = upload.getItemIterator(request);
      while (parts.hasNext()) {
        FileItemInput part = parts.next();
        if (FILE_FIELD.equals(part.getFieldName())) {
          return store(caller, part);
        }
      }
    } catch (FileUploadException e) {
      throw new ServiceException(ErrorKind.INVALID_REQUEST, e, e.getMessage());
    } catch (IOException e) {
      throw new ServiceException(
          ErrorKind.INVALID_REQUEST, e, "the upload could not be read to its end");
    }
    throw new ServiceException(
        ErrorKind.INVALID_REQUEST, "the upload has no part named \"%s\"", FILE_FIELD);
  }

  /** Returns the description of an input file. */
  @GET
  @Path("/{id}")
  public FileResponse get(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
    Caller caller = admission.authenticate(authorization);
    return FileResponse.of(files.get(caller.organisation(), id));
  }

  /** Returns the content of an input file, or the results of a job. */
  @GET
  @Path("/{id}/content")
  @Produces(MediaType.WILDCARD)
  public Response content(
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
    Caller caller = admission.authenticate(authorization);
    StreamingOutput output =
        ResultFileIds.jobOf(id).map(job -> results(caller, id)).orElseGet(() -> input(caller, id));
    return Response.ok(output, "application/jsonl").build();
  }

  private FileResponse store(Caller caller, FileItemInput part) throws IOException {
    String name = part.getName() == null ? "" : part.getName();
    return FileResponse.of(
        files.store(caller.organisation(), name, part.getInputStream(), maxItems(caller)));
  }

  private StreamingOutput results(Caller caller, String id) {
    JobManifest job =
        jobs.find(caller.organisation(), ResultFileIds.jobOf(id).orElseThrow())
            .orElseThrow(() -> FileStore.notFound(id));
    boolean errors = ResultFileIds.isErrors(id);
    return output -> jobs.writeResults(job, errors, output);
  }

  private StreamingOutput input(Caller caller, String id) {
    FileManifest file = files.get(caller.organisation(), id);
    return output -> files.writeContent(file, output);
  }

  private int maxItems(Caller caller) {
    return batchRule(configuration, caller)
        .map(BatchRuleSpec::maxItemsPerJob)
        .map(maxItems -> Math.min(maxItems, batch.maxItemsPerJob()))
        .orElse(batch.maxItemsPerJob());
  }

  /** Returns the batch rule of the caller's organisation, if there is one. */
  static Optional<BatchRuleSpec> batchRule(ConfigurationTable configuration, Caller caller) {
    return configuration.list(EntityKind.BATCH_RULE).stream()
        .map(VersionedEntity::entity)
        .map(entity -> (BatchRuleSpec) entity.spec())
        .filter(rule -> rule.organisation().equals(caller.organisation().value()))
        .findFirst();
  }
}
