package org.snipewick.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards the rules for package dependencies in docs/design/0001-architecture.md. */
@AnalyzeClasses(packages = "org.snipewick", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageDependencyTest {
  /**
   * Packages that decide without I/O of their own; subpackages such as peer.tcp may use sockets.
   */
  private static final String[] DECISION_PACKAGES = {
    "org.snipewick.identity",
    "org.snipewick.failure",
    "org.snipewick.time",
    "org.snipewick.catalogue",
    "org.snipewick.membership",
    "org.snipewick.pool",
    "org.snipewick.limits",
    "org.snipewick.idempotency",
    "org.snipewick.lease",
    "org.snipewick.request",
    "org.snipewick.store",
    "org.snipewick.endpoint",
    "org.snipewick.quarantine",
    "org.snipewick.rollout",
    "org.snipewick.peer"
  };

  @ArchTest
  static final ArchRule DECISION_PACKAGES_DO_NOT_USE_SOCKETS =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io.activej..", "java.net.http..", "java.nio.channels..");

  @ArchTest
  static final ArchRule DECISION_PACKAGES_DO_NOT_DEPEND_ON_PROCESS_PACKAGES =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.snipewick.entry..",
              "org.snipewick.cli..",
              "org.snipewick.settings..",
              "org.snipewick.admin..");

  @ArchTest
  static final ArchRule ONLY_COMMAND_LINE_DEPENDS_ON_PLATFORM_ADAPTER =
      noClasses()
          .that()
          .resideOutsideOfPackages("org.snipewick.platform..", "org.snipewick.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.snipewick.platform..");

  @ArchTest
  static final ArchRule PLATFORM_ADAPTER_DOES_NOT_DEPEND_ON_PROCESS_PACKAGES =
      noClasses()
          .that()
          .resideInAPackage("org.snipewick.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.snipewick.entry..", "org.snipewick.cli..", "org.snipewick.admin..");

  @ArchTest
  static final ArchRule PACKAGES_HAVE_NO_CYCLES =
      slices().matching("org.snipewick.(*)..").should().beFreeOfCycles();
}
