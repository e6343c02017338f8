//! The `check` command: validates settings and lists.

use crate::command::{Check, CheckCommand};
use crate::exit::Exit;
use crate::lists::Document;
use heathertrack::lists::{Allowances, Plans};
use heathertrack_document::Findings;
use heathertrackd::Settings;
use miette::{IntoDiagnostic, Report, WrapErr};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

pub fn run(command: &Check, json: bool) -> Result<Exit, Report> {
    match &command.what {
        CheckCommand::Settings(check) => {
            let mut all_findings = Vec::new();
            for file in &check.files {
                let (name, text) = read_file(file)?;
                all_findings.extend(Settings::read(&name, &text).err());
            }
            Ok(print_findings(&all_findings, check.files.len(), json))
        }
        CheckCommand::Platform(check) => check_platform(&check.files, json),
        CheckCommand::Lists(check) => {
            let mut all_findings = Vec::new();
            let mut documents = Vec::new();
            for file in &check.files {
                let (name, text) = read_file(file)?;
                match Document::read(&name, &text) {
                    Ok(document) => documents.push(document),
                    Err(findings) => all_findings.push(findings),
                }
            }
            all_findings.extend(check_plans_have_allowances(&documents));
            Ok(print_findings(&all_findings, check.files.len(), json))
        }
    }
}

/// Checks the settings files of entry hosts on the users' platform. Their findings have no line or
/// column.
fn check_platform(files: &[PathBuf], json: bool) -> Result<Exit, Report> {
    let mut all_findings = Vec::new();
    for file in files {
        let (name, text) = read_file(file)?;
        let findings = heathertrack_adapter::settings::read(&text).err().unwrap_or_default();
        all_findings.extend(findings.into_iter().map(|finding| (name.clone(), finding)));
    }
    if json {
        let entry =
            |(file, message): &(String, String)| json!({ "file": file, "message": message });
        let entries: Vec<Value> = all_findings.iter().map(entry).collect();
        println!("{}", json!({ "files": files.len(), "findings": entries }));
    } else if all_findings.is_empty() {
        println!("{} checked, nothing found", files.len());
    }
    for (file, finding) in all_findings.iter().filter(|_| !json) {
        eprintln!("{file}: {finding}");
    }
    Ok(if all_findings.is_empty() { Exit::Done } else { Exit::Findings })
}

/// Returns the name and the text of a file.
pub fn read_file(path: &Path) -> Result<(String, String), Report> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic();
    Ok((name.clone(), text.wrap_err_with(|| format!("cannot read {name}"))?))
}

/// Returns a finding for each customer whose plan has no allowance, or `None` if there is no
/// finding or only one of the lists is given.
fn check_plans_have_allowances(documents: &[Document]) -> Option<Findings> {
    let plans: &Plans = documents.iter().find_map(|document| document.plans.as_ref())?;
    let allowances: &Allowances = documents.iter().find_map(|d| d.allowances.as_ref())?;
    // The findings concern both files, so they have no text to point into.
    let mut findings = Findings::new("both lists", "");
    for (name, customer) in &plans.customers {
        if !allowances.plans.contains_key(&customer.plan) {
            let path = format!("customers.{name}.plan");
            findings.add(0, &path, format!("names {}, which has no allowance", customer.plan));
        }
    }
    (!findings.is_empty()).then_some(findings)
}

/// Prints the findings of all files, and returns the exit status.
fn print_findings(all_findings: &[Findings], files: usize, json: bool) -> Exit {
    if json {
        let entries: Vec<Value> = all_findings.iter().flat_map(findings_json).collect();
        println!("{}", json!({ "files": files, "findings": entries }));
    } else {
        for findings in all_findings {
            eprintln!("{:?}", Report::new(findings.clone()));
        }
        if all_findings.is_empty() {
            println!("{files} checked, nothing found");
        }
    }
    if all_findings.is_empty() { Exit::Done } else { Exit::Findings }
}

fn findings_json(findings: &Findings) -> Vec<Value> {
    let entry = |finding: &heathertrack_document::Finding| {
        json!({
            "file": findings.name(), "line": finding.line, "column": finding.column,
            "path": finding.path, "message": finding.message,
        })
    };
    findings.iter().map(entry).collect()
}
