package org.trefoilbarrow;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.testng.annotations.Test;

/** Checks the dependencies between the layers that docs/DESIGN.md describes. */
public final class LayersTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.trefoilbarrow");

  @Test
  public void eachLayerDependsOnlyOnLowerLayers() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("command")
        .definedBy("org.trefoilbarrow.command..")
        .layer("transport")
        .definedBy("org.trefoilbarrow.transport..")
        .layer("coordination")
        .definedBy("org.trefoilbarrow.coordination..")
        .layer("state")
        .definedBy("org.trefoilbarrow.state..")
        .layer("protocol")
        .definedBy("org.trefoilbarrow.protocol..")
        .whereLayer("command")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("transport")
        .mayOnlyBeAccessedByLayers("command")
        .whereLayer("coordination")
        .mayOnlyBeAccessedByLayers("command", "transport")
        .whereLayer("state")
        .mayOnlyBeAccessedByLayers("command", "transport", "coordination")
        .check(CLASSES);
  }

  @Test
  public void coordinationDoesNoInputOrOutputAndReadsNoClock() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage("org.trefoilbarrow.coordination..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.net..", "java.nio.channels..", "org.apache..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .haveNameMatching("java\\.time\\.(Clock|Instant|InstantSource)")
        .check(CLASSES);
  }
}
