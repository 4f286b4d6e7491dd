package config

import "github.com/cactusbay/cactusbay/internal/check"

// validateRegions reports names of allowed regions that are empty or duplicate.
func validateRegions(path string, regions []string, faults *check.Faults) {
	seen := make(map[string]bool, len(regions))
	for _, region := range regions {
		if region == "" {
			faults.Add(path, "holds an empty name: write the names of regions")
		}
		if seen[region] {
			faults.Add(path, "names the region %q twice", region)
		}
		seen[region] = true
	}
}

// validateWorkspaceRegions also reports a workspace that limits the regions of works. The
// region of their backend servers is not known, so that the limit would have no effect.
func validateWorkspaceRegions(path string, workspace Workspace, faults *check.Faults) {
	validateRegions(path, workspace.AllowedRegions, faults)
	if len(workspace.AllowedRegions) > 0 && len(workspace.Works) > 0 {
		faults.Add(path, "cannot limit the workspace's works, whose backend servers have no region")
	}
}
