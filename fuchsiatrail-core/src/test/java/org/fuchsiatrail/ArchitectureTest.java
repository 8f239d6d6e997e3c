package org.fuchsiatrail;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/**
 * Guards the dependency rules of the core. A class that reads the system clock, starts a thread or opens a socket makes
 * a tick depend on more than its settings, inputs and times. A reference into {@code internal} makes internal types
 * part of the public API, and internal packages that form a cycle can no longer change separately.
 */
class ArchitectureTest {

    private final JavaClasses core = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.fuchsiatrail");

    @Test
    void should_hold_no_thread_socket_or_wall_clock_in_the_core() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.util.concurrent..", "io.netty..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(core);
    }

    @Test
    void should_start_no_process_in_the_core() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Runtime")
                .check(core);
    }

    @Test
    void should_depend_only_on_the_jdk_and_on_json_collection_and_hashing_libraries() {
        classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java..",
                        "javax.crypto..",
                        "org.fuchsiatrail..",
                        "com.fasterxml.jackson..",
                        "it.unimi.dsi.fastutil..",
                        "com.dynatrace.hash4j..")
                .check(core);
    }

    @Test
    void should_let_only_the_entry_points_depend_on_internal_packages() {
        noClasses()
                .that()
                .resideInAPackage("org.fuchsiatrail")
                .and()
                .doNotHaveSimpleName("Fuchsiatrail")
                .and()
                .doNotHaveSimpleName("ApiKeys")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.fuchsiatrail.internal..")
                .check(core);
    }

    @Test
    void should_have_no_cycles_between_internal_packages_except_through_the_router_context() {
        slices().matching("org.fuchsiatrail.internal.(*)..")
                .should()
                .beFreeOfCycles()
                .ignoreDependency(DescribedPredicate.alwaysTrue(), JavaClass.Predicates.simpleName("RouterContext"))
                .check(core);
    }
}
